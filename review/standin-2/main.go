// Command standin2 plays the cases of the second review against the program's own processes, on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble states whether the disruption is played.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"poison":  poison,
	"part":    otherPart,
	"field":   missingField,
	"hidden":  hiddenRemoval,
	"replace": replaced,
}

const (
	exitBroken = 1
	exitNotRun = 2
	// argumentCount is the number of arguments, the program's name included.
	argumentCount = 3
)

func main() {
	if len(os.Args) != argumentCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	v, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.log("could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case v.broken:
		w.log("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return exitBroken
	}
	w.log("HELD: %s", v.text)
	fmt.Println("HELD:", v.text)
	return 0
}
