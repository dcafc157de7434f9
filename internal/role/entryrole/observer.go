package entryrole

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
)

// observer records request metrics. It implements request.Observer.
type observer struct {
	requests *telemetry.Requests
}

func (o observer) class(l request.Labels) *telemetry.ClassSeries {
	return o.requests.Class(l.Team, l.Class)
}

// FirstToken implements request.Observer.
func (o observer) FirstToken(l request.Labels, queue, total time.Duration) {
	series := o.class(l)
	series.Queue.RecordDuration(queue)
	series.FirstToken.RecordDuration(total)
}

// BetweenTokens implements request.Observer.
func (o observer) BetweenTokens(l request.Labels, longest, mean time.Duration) {
	series := o.class(l)
	series.LongestGap.RecordDuration(longest)
	series.MeanGap.RecordDuration(mean)
}

// Completed implements request.Observer.
func (o observer) Completed(l request.Labels, _ int, d time.Duration) {
	o.class(l).Total.RecordDuration(d)
	o.requests.Customer(l.Customer).RecordDuration(d)
}

// Refused implements request.Observer.
func (o observer) Refused(l request.Labels, kind string) {
	o.class(l).Refused(kind)
}

// Dropped implements request.Observer.
func (o observer) Dropped(l request.Labels) {
	o.class(l).Dropped.Inc(1)
}

// Resumed implements request.Observer.
func (o observer) Resumed(l request.Labels) {
	o.class(l).Resumed.Inc(1)
}
