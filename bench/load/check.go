package load

import "github.com/cockroachdb/errors"

// Check reports the first thing that is wrong with a profile.
func (p *Profile) Check() error {
	if p.Duration <= 0 {
		return errors.New("duration: want more than 0s")
	}
	if len(p.Streams) == 0 {
		return errors.New("streams: want at least one")
	}
	for i := range p.Streams {
		if err := p.checkStream(&p.Streams[i]); err != nil {
			return errors.Wrapf(err, "streams[%d]", i)
		}
	}
	return nil
}

func (p *Profile) checkStream(s *Stream) error {
	switch {
	case (s.Model == "") == (s.Service == ""):
		return errors.New("want either a model or a service")
	case s.Service != "" && (s.Method == "" || s.Path == ""):
		return errors.New("a service needs a method and a path")
	case s.Timeout <= 0:
		return errors.New("patience: want more than 0s")
	case s.PerSecond <= 0:
		return errors.New("per_second: want more than 0")
	case len(s.Workspaces) == 0:
		return errors.New("workspaces: want at least one")
	}
	for _, w := range s.Workspaces {
		if _, ok := p.Keys[w.Workspace]; !ok {
			return errors.Newf("workspaces: %q has no key", w.Workspace)
		}
	}
	return nil
}
