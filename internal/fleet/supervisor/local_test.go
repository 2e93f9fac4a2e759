package supervisor

import (
	"slices"
	"strings"
	"testing"
)

func TestBrokersDoNotInheritVariablesThatOverrideTheirConfiguration(t *testing.T) {
	for _, key := range inheritedVariables {
		t.Setenv(key, "of the agent")
	}
	t.Setenv("POPPYARCH_TEST_KEPT", "1")
	env := (&LocalBrokers{Env: []string{"ADDED=1"}}).environment()
	for _, variable := range env {
		if key, _, _ := strings.Cut(variable, "="); slices.Contains(inheritedVariables, key) {
			t.Errorf("%s is inherited", variable)
		}
	}
	if !slices.Contains(env, "POPPYARCH_TEST_KEPT=1") || !slices.Contains(env, "ADDED=1") {
		t.Errorf("the environment is %v", env)
	}
}
