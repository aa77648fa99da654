package tpcommand

import "fmt"

// Version is the version that the subcommand version prints.
const Version = "0.1.0"

// RunTeaselpin runs the program teaselpin and returns its exit status.
func RunTeaselpin(env Env, args []string) int {
	return run(env, "teaselpin", args, []subcommand{
		{"serve", "Run a node", "Runs one node until SIGTERM, then stops it gracefully.", &Serve{env: env}},
		{"relay", "Run a node on the users' platform", "Relays the requests of a platform's clients to the servers that it registers, until SIGTERM, then stops gracefully.", &Relay{env: env}},
		{"demo", "Run the main job on stand-ins", "Runs nodes and stand-ins in one process, sends work, loses an engine, stops a node, and checks every answer.", &Demo{env: env}},
		{"timeline", "Show the events of nodes", "Gathers the events of nodes and merges them in causal order.", &Timeline{env: env}},
		{"apply", "Put a configuration in force", "Merges and checks the files and makes them the accepted configuration.", &Apply{env: env}},
		{"status", "Show a node's status", "Reads back the configuration in force and the members from a node.", &Status{env: env}},
		{"version", "Print the version", "Prints the version of the program.", &VersionCommand{env: env}},
	})
}

// VersionCommand implements the subcommand version.
type VersionCommand struct {
	env Env
}

// Execute implements flags.Commander.
func (c *VersionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.env.Stdout, "teaselpin", Version)
	return err
}
