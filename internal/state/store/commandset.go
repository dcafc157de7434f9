package store

// CommandSet names commands that were added together. Replicas announce which sets
// they apply: one that doesn't know a command answers "unknown command", and its state
// would differ from the others'.
type CommandSet string

// UsageCommands are the commands on the usage log.
const UsageCommands CommandSet = "usage"

// CommandSets returns the sets that this build applies. Commands that are in no set are
// applied by all builds.
func CommandSets() []CommandSet {
	return []CommandSet{UsageCommands}
}
