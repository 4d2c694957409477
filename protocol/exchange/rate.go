package exchange

import (
	"math"
	"time"

	"samphirehead/coordination/throttle"
	"samphirehead/state/id"
)

// ServiceRateOf returns the message that carries a throttle's report.
func ServiceRateOf(service id.Service, report throttle.Report) *ServiceRate {
	out := &ServiceRate{Service: string(service), Requests: report.Rate}
	for upstream, count := range report.Sent {
		if out.Sent == nil {
			out.Sent = make(map[string]float64, len(report.Sent))
		}
		out.Sent[string(upstream)] = count
	}
	for _, s := range report.Statements {
		out.Limits = append(out.Limits, &StatedLimit{
			Upstream: string(s.Upstream), Requests: s.RateLimit, AgeUs: s.Age.Microseconds(),
		})
	}
	return out
}

// AsReport converts a message to a report. Rates and counts that are negative, infinite
// or NaN become 0, and limits that are infinite or NaN are left out.
func (r *ServiceRate) AsReport() throttle.Report {
	report := throttle.Report{Rate: validCount(r.Requests), Sent: make(map[id.Upstream]float64, len(r.Sent))}
	for upstream, count := range r.Sent {
		report.Sent[id.Upstream(upstream)] = validCount(count)
	}
	for _, l := range r.Limits {
		if math.IsNaN(l.Requests) || math.IsInf(l.Requests, 0) {
			continue
		}
		report.Statements = append(report.Statements, throttle.Statement{
			Upstream: id.Upstream(l.Upstream), RateLimit: l.Requests,
			Age: time.Duration(max(l.AgeUs, 0)) * time.Microsecond,
		})
	}
	return report
}
