package tpcommand

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Exit statuses of the programs. All except ExitOK and ExitUnknown mean that
// the command changed nothing.
const (
	ExitOK          = 0
	ExitError       = 1 // the command failed
	ExitUsage       = 2 // the command line is wrong
	ExitInvalid     = 3 // a file has faults
	ExitRace        = 4 // another operator's configuration was accepted first
	ExitUnavailable = 5 // the platform or the node cannot be reached
	ExitUnknown     = 6 // the command may or may not have changed something
)

// exitError is an error with the exit status that run returns for it.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Error is the class of errors of this package.
var Error = errs.Class("teaselpin")

// Env holds the output streams, the logger and the signals of a command's
// process, so that tests can replace them.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Log    zerolog.Logger
	// Stop receives the signals that request a graceful stop.
	Stop <-chan os.Signal
	// Reload receives the signals that request a check of changed settings.
	Reload <-chan os.Signal
}

// ProcessEnv returns the environment of the current process. It redirects
// SIGTERM and SIGINT to Stop, and SIGHUP to Reload.
func ProcessEnv() Env {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return Env{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Log:    zerolog.New(os.Stderr).With().Timestamp().Logger(),
		Stop:   stop,
		Reload: reload,
	}
}

type subcommand struct {
	name    string
	short   string
	long    string
	options any
}

// run parses the arguments, executes the subcommand and returns the exit
// status. It writes an error to env.Stderr, and help to env.Stdout.
func run(env Env, program string, args []string, commands []subcommand) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.options); err != nil {
			fmt.Fprintln(env.Stderr, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(env.Stdout, err)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(env.Stderr, err)
		return ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintf(env.Stderr, "%s: %v\n", program, err)
		return exit.status
	default:
		fmt.Fprintf(env.Stderr, "%s: %v\n", program, err)
		return ExitError
	}
}
