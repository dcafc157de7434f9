package peergrpc

import (
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func fromRetryUses(uses []retry.Use) []*peerpb.RetryUse {
	out := make([]*peerpb.RetryUse, 0, len(uses))
	for _, u := range uses {
		m := &peerpb.RetryUse{Service: u.Service, Requests: uint64(u.Requests), Retries: uint64(u.Retries)}
		if u.Recent != nil {
			m.RecentRequests, m.RecentRetries = toUint32s(u.Recent.Requests), toUint32s(u.Recent.Retries)
		}
		out = append(out, m)
	}
	return out
}

func toRetryUses(uses []*peerpb.RetryUse) []retry.Use {
	out := make([]retry.Use, 0, len(uses))
	for _, m := range uses {
		u := retry.Use{Service: m.GetService(), Requests: int(m.GetRequests()), Retries: int(m.GetRetries())}
		if len(m.GetRecentRequests()) > 0 {
			u.Recent = &retry.Recent{Requests: toInts(m.GetRecentRequests()), Retries: toInts(m.GetRecentRetries())}
		}
		out = append(out, u)
	}
	return out
}

func fromRetryDeployment(d retry.Deployment) *peerpb.RetryDeployment {
	out := &peerpb.RetryDeployment{Entries: toUint32(d.Processes), Connected: toUint32(d.Connected), Settled: d.Settled, Complete: d.Complete}
	for _, t := range d.Totals {
		out.Totals = append(out.Totals, &peerpb.RetryTotal{Service: t.Service, Requests: uint64(t.Requests), Retries: uint64(t.Retries), Counted: uint64(t.Counted)})
	}
	return out
}

func toRetryDeployment(m *peerpb.RetryDeployment) retry.Deployment {
	out := retry.Deployment{Processes: int(m.GetEntries()), Connected: int(m.GetConnected()), Settled: m.GetSettled(), Complete: m.GetComplete()}
	for _, t := range m.GetTotals() {
		out.Totals = append(out.Totals, retry.Total{Service: t.GetService(), Requests: int(t.GetRequests()), Retries: int(t.GetRetries()), Counted: int(t.GetCounted())})
	}
	return out
}

func toUint32s(numbers []int) []uint32 {
	out := make([]uint32, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, toUint32(n))
	}
	return out
}

func toInts(numbers []uint32) []int {
	out := make([]int, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, int(n))
	}
	return out
}
