package peer

import (
	"samphirehead/protocol/peer"
)

// Limit returns a client of the limit home at a peer address.
func (c *Clients) Limit(address string) peer.Limit {
	c.once.Do(c.init)
	return peer.NewLimitProtobufClient("http://"+address, c.httpClient)
}
