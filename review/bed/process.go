package bed

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Pid returns the process id of an instance as run.sh has written it.
func (b *Bed) Pid(i *Instance) (int, error) {
	data, err := os.ReadFile(filepath.Join(b.Dir, i.Name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

// Signal sends a signal to the process of an instance, which run.sh started.
func (b *Bed) Signal(i *Instance, s syscall.Signal) error {
	pid, err := b.Pid(i)
	if err != nil {
		return err
	}
	b.Record.Printf("%s gets %v", i.Name, s)
	return syscall.Kill(pid, s)
}
