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

// overridingVariables override settings of a broker's configuration file, and so are not inherited.
var overridingVariables = []string{"LB_NAME", "LB_LISTEN", "LB_DISCOVERY"}

// Broker describes the process of a broker.
type Broker struct {
	Program string   // path of poppyarch
	Args    []string // that make it a broker; nil: serve
	Env     []string // besides the parent's environment
	Dir     string   // of the configuration and the log
	Name    string   // of the instance; names the files
	Config  []byte   // content of the configuration file
}

// Command writes the broker's configuration file, and returns the command that starts it, with its output appended to the
// log file. release closes the parent's descriptor of that file once the command has been started.
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
	return cmd, func() { _ = log.Close() }, nil // nothing was written through this descriptor
}

// environment returns the parent's environment without the variables that would override the broker's configuration.
func (b *Broker) environment() []string {
	env := slices.DeleteFunc(os.Environ(), func(variable string) bool {
		key, _, _ := strings.Cut(variable, "=")
		return slices.Contains(overridingVariables, key)
	})
	return append(env, b.Env...)
}
