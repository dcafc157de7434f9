package request

import (
	"time"
)

// ignore is the Observer that ignores everything.
type ignore struct{}

func (ignore) FirstToken(Labels, time.Duration, time.Duration) {}

func (ignore) BetweenTokens(Labels, time.Duration, time.Duration) {}

func (ignore) Whole(Labels, int, time.Duration) {}

func (ignore) Refused(Labels, string) {}

func (ignore) Dropped(Labels) {}

func (ignore) Resumed(Labels) {}
