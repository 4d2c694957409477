package heartbeat

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// minNeighbours is the number of live peers in the failure domain from which on most
	// exchanges are within it. With fewer, each message reaches most instances anyway.
	minNeighbours = 7
	// outsideShare is the share of the rounds in which an instance contacts a given other
	// failure domain.
	outsideShare = 0.1
	// lostShare is the share of these exchanges that may go to silent peers, so that both
	// sides of a cut find each other again.
	lostShare = 0.125
	// MaxOwnRecords bounds the records of the sender's own failure domain in a message to
	// another one; the rest of MaxRecords are of the others.
	MaxOwnRecords = 12
	// outsideSilence is how much longer the sequence number of a live peer in another
	// failure domain may stay the same.
	outsideSilence = 600 * time.Millisecond
)

// Clustered reports whether most exchanges are within the failure domain. Messages to
// other domains then speak for the whole domain of the sender.
func (m *Machine) Clustered() bool { return m.clustered }

// FailureDomainAt returns the failure domain of the peer at an address, or "" if none is
// known there.
func (m *Machine) FailureDomainAt(address string) id.FailureDomain {
	for _, p := range m.peers {
		if p.PeerAddress == address {
			return p.FailureDomain
		}
	}
	return ""
}

// Neighbours returns the number of live peers in the failure domain.
func (m *Machine) Neighbours(now time.Time) int {
	count := 0
	for _, p := range m.peers {
		if p.FailureDomain == m.Self.FailureDomain && m.isLive(now, p) {
			count++
		}
	}
	return count
}

// liveNeighbours is the same, with those to which the last exchange failed: they tell of
// others nevertheless.
func (m *Machine) liveNeighbours(now time.Time) int {
	count := 0
	for _, p := range m.peers {
		if p.FailureDomain == m.Self.FailureDomain && !m.silent(now, p) {
			count++
		}
	}
	return count
}

// targets returns up to limit random addresses of peers and seeds.
func (m *Machine) targets(limit int) []string {
	addresses := slices.Collect(maps.Keys(m.seeds))
	for _, p := range m.peers {
		addresses = append(addresses, p.PeerAddress)
	}
	return m.draw(addresses, limit)
}

// clusteredTargets returns up to Fanout addresses: in some rounds one in another failure
// domain, and otherwise such in that of this instance.
func (m *Machine) clusteredTargets(now time.Time) []string {
	var addresses []string
	byDomain := m.addressesByDomain(now)
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if domain != m.Self.FailureDomain && m.Random.Float64() < outsideShare {
			addresses = append(addresses, m.draw(byDomain[domain].preferred(m.Random), 1)...)
		}
	}
	addresses = m.draw(addresses, Fanout)
	inside := byDomain[m.Self.FailureDomain]
	return append(addresses, m.draw(inside.all, Fanout-len(addresses))...)
}

// domainAddresses holds the addresses of peers in one failure domain.
type domainAddresses struct{ all, heard []string }

// addressesByDomain returns the addresses of the peers by failure domain, and those of the
// seeds under "".
func (m *Machine) addressesByDomain(now time.Time) map[id.FailureDomain]domainAddresses {
	byDomain := make(map[id.FailureDomain]domainAddresses)
	for _, p := range m.peers {
		domain := byDomain[p.FailureDomain]
		domain.all = append(domain.all, p.PeerAddress)
		if !m.silent(now, p) {
			domain.heard = append(domain.heard, p.PeerAddress)
		}
		byDomain[p.FailureDomain] = domain
	}
	if len(m.seeds) > 0 {
		byDomain[""] = domainAddresses{all: append(byDomain[""].all, slices.Collect(maps.Keys(m.seeds))...)}
	}
	return byDomain
}

// preferred returns the addresses of the peers that are heard of, or sometimes all.
func (d domainAddresses) preferred(random *rand.Rand) []string {
	if len(d.heard) > 0 && random.Float64() >= lostShare {
		return d.heard
	}
	return d.all
}

// draw returns up to limit random ones of some addresses.
func (m *Machine) draw(addresses []string, limit int) []string {
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	m.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(limit, len(addresses))]
}

// Message returns the records for one message to a failure domain, or to "" if that is not
// known: this instance's, and at most MaxRecords drawn at random from the peers that are not
// silent. Peers are included even if the last exchange with them failed here.
func (m *Machine) Message(now time.Time, to id.FailureDomain) (Record, []Record) {
	var neighbours, others []Record
	outside := m.clustered && to != m.Self.FailureDomain
	for _, p := range m.peers {
		switch {
		case m.silent(now, p):
		case outside && p.FailureDomain == to:
			// Those there hear of each other sooner.
		case outside && p.FailureDomain == m.Self.FailureDomain:
			neighbours = append(neighbours, p.Record)
		default:
			others = append(others, p.Record)
		}
	}
	neighbours, others = m.drawRecords(neighbours), m.drawRecords(others)
	neighbours = neighbours[:min(MaxOwnRecords, len(neighbours))]
	return m.Self, append(neighbours, others[:min(MaxRecords-len(neighbours), len(others))]...)
}

// drawRecords returns some records in random order.
func (m *Machine) drawRecords(records []Record) []Record {
	sortRecords(records)
	m.Random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records
}
