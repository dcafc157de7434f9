package request

import (
	"time"
)

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) FirstToken(Labels, time.Duration, time.Duration) {}

func (nopObserver) BetweenTokens(Labels, time.Duration, time.Duration) {}

func (nopObserver) Whole(Labels, int, time.Duration) {}

func (nopObserver) Refused(Labels, string) {}

func (nopObserver) Dropped(Labels) {}

func (nopObserver) Resumed(Labels) {}
