package prefillqueue

import "time"

// waitedRecently is the time for which slots stay short after a prompt has waited for one.
const waitedRecently = 500 * time.Millisecond

// updateSaturated sets whether the queue is saturated. backlog is the time that the engines
// need for all that waits or is pending.
func (s *service) updateSaturated(now time.Time, slotsShort bool, backlog time.Duration) {
	least := saturatedFrom
	if s.saturated {
		least = saturatedTo
	}
	if !s.waitingSince.IsZero() {
		s.waitedAt = now
	}
	// A queue that refuses at once is empty again and again.
	if backlog < least && (!slotsShort || now.Sub(s.waitedAt) > waitedRecently) {
		s.shortSince, s.saturated = time.Time{}, false
		return
	}
	if s.shortSince.IsZero() {
		s.shortSince = now
	}
	s.saturated = now.Sub(s.shortSince) >= saturatedAfter
}

// renewCredit renews the number of streams that may begin, which is this entry's share of
// the free slots, once the load of other entries has been received again. A rest of less
// than one stream is kept.
func (s *service) renewCredit(now, loadAt time.Time, free float64) {
	if loadAt.Sub(s.loadAt) < time.Millisecond && now.Sub(s.creditAt) < maxCreditAge {
		return
	}
	s.creditAt, s.loadAt = now, loadAt
	if free <= 0 {
		s.credit = 0
		return
	}
	s.credit = max(0, min(max(0, s.credit), 1)+free*s.share.value-float64(s.reserved))
}
