package exchange

import (
	"time"

	"samphirehead/coordination/duty"
	"samphirehead/state/id"
)

// HoldingToProto converts what an instance knows of a holder to a message.
func HoldingToProto(h duty.Holding, confirmedAt, now time.Time) *Holding {
	return &Holding{
		Subject: string(h.Subject), Holder: string(h.Holder), FencingNumber: uint64(h.FencingNumber), AgeUs: ageOf(confirmedAt, now),
	}
}

// AsHolding converts a message that was received at now, and returns when the holding was
// confirmed.
func (x *Holding) AsHolding(now time.Time) (holding duty.Holding, confirmedAt time.Time) {
	return duty.Holding{
		Subject: duty.Subject(x.Subject),
		Grant:   duty.Grant{Holder: id.Instance(x.Holder), FencingNumber: id.FencingNumber(x.FencingNumber)},
	}, timeOf(x.AgeUs, now)
}
