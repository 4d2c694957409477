package manifest_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// large returns a manifest with the given numbers of upstreams and workspaces.
func largeManifest(upstreams, workspaces int) *manifest.Manifest {
	m := &manifest.Manifest{Models: []manifest.Model{{Name: "m"}}}
	for tier := 1; tier <= 4; tier++ {
		m.Classes = append(m.Classes, manifest.Class{
			Name:          id.Class(fmt.Sprintf("class-%d", tier)),
			Tier:          id.Tier(tier),
			FirstToken:    450 * time.Millisecond,
			TotalDeadline: time.Minute,
			MinimumShare:  0.05,
			QueueBound:    100,
		})
	}
	for i := range upstreams {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name:          id.Upstream(fmt.Sprintf("engine-%d", i)),
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%16)),
			Kind:          manifest.KindEngine,
			Models:        []id.Model{"m"},
			Capacity:      manifest.Capacity{Slots: 16, PrefillTokensPerSecond: 16000, DecodeTokensPerSecond: 1200, KVTokens: 131072},
			Resumes:       true,
		})
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		m.Workspaces = append(m.Workspaces, manifest.Workspace{
			Name:              id.Workspace(name),
			KeySHA256:         []string{fmt.Sprintf("%x", sha256.Sum256([]byte(name)))},
			Classes:           []id.Class{"class-1", "class-4"},
			RequestsPerSecond: 10,
		})
	}
	return m
}

var sizes = []struct{ upstreams, workspaces int }{{20, 10}, {1000, 3700}, {10000, 37000}}

func BenchmarkParse(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_upstreams_%d_workspaces", size.upstreams, size.workspaces), func(b *testing.B) {
			data, err := largeManifest(size.upstreams, size.workspaces).Marshal()
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := manifest.Parse("m", data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d_upstreams_%d_workspaces", size.upstreams, size.workspaces), func(b *testing.B) {
			m := largeManifest(size.upstreams, size.workspaces)
			b.ReportAllocs()
			for b.Loop() {
				manifest.NewIndex(m)
			}
		})
	}
}

func BenchmarkWorkspaceByKey(b *testing.B) {
	x := manifest.NewIndex(largeManifest(20, 37000))
	b.ReportAllocs()
	for b.Loop() {
		if _, found := x.WorkspaceByKey("workspace-77"); !found {
			b.Fatal("not found")
		}
	}
}
