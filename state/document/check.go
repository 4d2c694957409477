package document

import (
	"errors"
	"net/netip"
	"regexp"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// CheckName returns an error unless value is safe to use as a name in logs,
// headers and paths.
func CheckName(value string) error {
	if value == "" {
		return errors.New("missing")
	}
	if !namePattern.MatchString(value) {
		return errors.New("want letters, digits, '_', '.' and '-', at most 64, the first a letter or digit")
	}
	return nil
}

// CheckListenAddress returns an error unless value is an IP address and a port;
// the port may be 0.
func CheckListenAddress(value string) error {
	_, err := parseAddress(value)
	return err
}

// CheckDialAddress returns an error unless value is an IP address and a port
// to which a connection can be opened.
func CheckDialAddress(value string) error {
	address, err := parseAddress(value)
	if err != nil {
		return err
	}
	if address.Port() == 0 {
		return errors.New("want a port other than 0")
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return errors.New("want the address of one host")
	}
	return nil
}

func parseAddress(value string) (netip.AddrPort, error) {
	if value == "" {
		return netip.AddrPort{}, errors.New("missing")
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().Zone() != "" {
		return netip.AddrPort{}, errors.New(`want an IP address and a port, such as "10.0.0.7:8080"`)
	}
	return address, nil
}
