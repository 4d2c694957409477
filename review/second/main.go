// Command second holds the stand-ins and the clients of the scripts of the second review.
//
// It is called as `second CASE DIR`. In DIR it writes the settings of the instances, which the
// script then starts, and the record of what was sent, answered and run. Its exit status is 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("rule broken")

// limit bounds the whole run.
const limit = 115 * time.Second

// cases holds what each case plays.
var cases = map[string]func(context.Context, *bed) error{
	"long-prompts": playLongPrompts,
	"long-ids":     playLongIDs,
	"long-parts":   playLongParts,
	"many-parts":   playManyParts,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE DIR")
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b, err := newBed(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	err = cases[os.Args[1]](ctx, b)
	switch {
	case errors.Is(err, errBroken):
		b.notef("result: %v", err)
		return 1
	case err != nil:
		b.notef("could not run: %v", err)
		return 2
	}
	b.notef("result: the rule held")
	return 0
}
