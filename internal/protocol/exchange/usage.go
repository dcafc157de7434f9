package exchange

// countUsage counts the request as begun by a server, unless it has been counted. It may be
// called by an attempt and by its replacement at the same time.
func (x *exchange) countUsage() {
	if x.options.Usage == nil || x.request.Workspace == "" || x.usageCounted.Load() || x.usageCounted.Swap(true) {
		return
	}
	x.options.Usage.Began(x.request.Workspace)
}
