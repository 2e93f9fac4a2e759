package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// configVariable is the environment variable that names a broker's configuration file.
const configVariable = "LB_CONFIG"

// overridingVariables override settings in a broker's configuration file, so a broker does not inherit them from its
// parent.
var overridingVariables = []string{"LB_NAME", "LB_LISTEN", "LB_DISCOVERY"}

// Broker describes a broker process to start.
type Broker struct {
	Program string   // path of the poppyarch executable
	Args    []string // command line that runs a broker; nil stands for "serve"
	Env     []string // variables to add to the parent's environment
	Dir     string   // directory of the configuration and log files
	Name    string   // of the instance; base name of both files
	Config  []byte   // content of the configuration file
}

// Command writes the broker's configuration file and returns the command that starts the broker, with its output
// appended to the log file. The caller calls release once the command has been started, to close the parent's
// descriptor of the log file.
func (b *Broker) Command() (cmd *exec.Cmd, release func(), err error) {
	configPath := filepath.Join(b.Dir, b.Name+".json")
	if err := os.WriteFile(configPath, b.Config, 0o600); err != nil {
		return nil, nil, err
	}
	log, err := os.OpenFile(filepath.Join(b.Dir, b.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	args := b.Args
	if args == nil {
		args = []string{"serve"}
	}
	cmd = exec.Command(b.Program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.Env = append(b.environment(), configVariable+"="+configPath)
	return cmd, func() { _ = log.Close() }, nil // the parent has written nothing that a failed close could lose
}

// environment returns the parent's environment without the variables that would override the broker's configuration.
func (b *Broker) environment() []string {
	env := slices.DeleteFunc(os.Environ(), func(variable string) bool {
		key, _, _ := strings.Cut(variable, "=")
		return slices.Contains(overridingVariables, key)
	})
	return append(env, b.Env...)
}
