// Command trial plays one case of the review: it starts the system's program as separate processes, and stand-ins of the
// platform's store, of servers and of clients. It writes what was sent, answered and run to record.txt.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

var (
	// root is the repository, folder that of the case.
	root, folder string
	began        = time.Now()
	recordFile   *os.File
	recordMutex  sync.Mutex
	processes    []*exec.Cmd
	temporary    string
)

// record writes a line of the record.
func record(format string, args ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// stop ends all processes that the trial started, and exits.
func stop(code int) {
	for _, c := range processes {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
		}
	}
	for _, c := range processes {
		_, _ = c.Process.Wait()
	}
	_ = os.RemoveAll(temporary)
	os.Exit(code)
}

// fail ends a trial that can't run.
func fail(format string, args ...any) {
	record("the case can't run: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	stop(2)
}

// verdict ends a trial.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "held", 0
	if broken {
		word, code = "BROKEN", 1
	}
	record("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	stop(code)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: trial CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	root, folder = os.Args[2], os.Args[3]
	var err error
	if recordFile, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if temporary, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %t", os.Args[1], trouble)
	trial, found := trials[os.Args[1]]
	if !found {
		fail("unknown case %s", os.Args[1])
	}
	time.AfterFunc(115*time.Second, func() { fail("out of time") })
	trial(trouble)
}

// trials are the cases.
var trials = map[string]func(trouble bool){
	"pages": tornPages,
	"idle":  idleChannels,
	"slash": encodedSlash,
}
