package dispatcher_test

import (
	"fmt"
	"testing"

	"samphirehead/coordination/admission"
	"samphirehead/instance/dispatch"
	"samphirehead/state/id"
)

// BenchmarkReserve measures the reservation of a free slot and its release, by
// the number of engines.
func BenchmarkReserve(b *testing.B) {
	for _, engines := range []int{20, 64, 1000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := newDispatcher(b, engines)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r := newRequest("quick")
				r.Fingerprint = id.Fingerprint(n + 1)
				g, err := d.Reserve(b.Context(), r)
				if err != nil {
					b.Fatal(err)
				}
				d.Started(g)
				d.Release(g, dispatch.Result{Outcome: admission.Completed, Tokens: 5})
			}
		})
	}
}
