package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// templateData holds the values that the platform substitutes in the template.
type templateData map[string]any

func (d templateData) get(name string) any {
	var value any = map[string]any(d)
	for part := range strings.SplitSeq(name, ".") {
		switch at := value.(type) {
		case map[string]any:
			value = at[part]
		case []any:
			var index int
			if _, err := fmt.Sscan(part, &index); err != nil || index >= len(at) {
				return nil
			}
			value = at[index]
		default:
			return nil
		}
	}
	return value
}

var (
	sectionPattern  = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	variablePattern = regexp.MustCompile(`\{\{([\w.@]+)(\|json)?\}\}`)
)

// renderTemplate renders a template in the platform's template language. It supports only the features that
// deploy/settings.toml.tmpl uses.
func renderTemplate(text string, data templateData) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(match string) string {
		parts := sectionPattern.FindStringSubmatch(match)
		value := data.get(parts[2])
		present := value != nil && value != false && value != ""
		if parts[1] == "^" {
			if present {
				return ""
			}
			return renderTemplate(parts[3], data)
		}
		table, ok := value.(map[string]any)
		switch {
		case !present:
			return ""
		case !ok:
			return renderTemplate(parts[3], data)
		}
		var out strings.Builder
		names := make([]string, 0, len(table))
		for name := range table {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			out.WriteString(strings.NewReplacer("{{@}}", name, "{{.}}", fmt.Sprint(table[name])).Replace(parts[3]))
		}
		return out.String()
	})
	return variablePattern.ReplaceAllStringFunc(text, func(match string) string {
		parts := variablePattern.FindStringSubmatch(match)
		value := data.get(parts[1])
		if parts[2] != "" {
			raw, err := json.Marshal(value)
			if err != nil {
				panic(err) // plain values always encode
			}
			return string(raw)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// decodeTemplateData returns template data with the platform's field names.
func decodeTemplateData(t *testing.T, listen string, limits string) templateData {
	t.Helper()
	var data templateData
	require.NoError(t, json.Unmarshal([]byte(`{
		"NodeName": "edge-kita-a-1", "Ip": "10.1.0.40", "Zone": "kita-a", "Region": "kita", "InternalPorts": [7700, 7715],
		"Seeds": ["10.1.0.40:8000", "10.2.0.37:8000"], "Zones": {"kita-a": "kita", "minami-a": "minami"},
		"Provider": {"Address": "10.200.1.7:8007"}, `+listen+`, `+limits+`}`), &data))
	return data
}

const (
	entryListen = `"Listen": {"Front": "10.1.0.40:8005", "Readiness": "10.1.0.40:8002", "Control": "10.1.0.40:8000", "Directory": "10.1.0.40:8009"}`
	agentListen = `"Listen": {}, "app": "10.1.0.40:8100", "Service": "kakiwake"`
)

// Guards against a template that renders fractional limits or bounds to values that the settings reject, so that a
// deployment with fractional bounds cannot start. A retry budget of zero must not be replaced by the default.
func TestTemplateRendersValidSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	require.NoError(t, err)
	limitsByName := map[string]string{
		"integers":    `"Limits": {"MemoryMb": 284, "LinkMbps": 1000}, "Bounds": {"version_ms": 8000, "RetryBudgetRatio": 1, "RetryBudgetExtra": 100, "RetryWindowS": 10, "GraceS": 8}`,
		"fractions":   `"Limits": {"MemoryMb": 184.5, "LinkMbps": 9.4}, "Bounds": {"version_ms": 8000.5, "RetryBudgetRatio": 0.2, "RetryBudgetExtra": 100.8, "RetryWindowS": 9.5, "GraceS": 7.25}`,
		"zero budget": `"Limits": {"MemoryMb": 152, "LinkMbps": 9}, "Bounds": {"RetryBudgetRatio": 0, "RetryBudgetExtra": 0, "RetryWindowS": 10, "GraceS": 8}`,
	}
	for name, limits := range limitsByName {
		for role, listen := range map[Role]string{RoleEntry: entryListen, RoleAgent: agentListen} {
			t.Run(name+"/"+string(role), func(t *testing.T) {
				text := renderTemplate(string(template), decodeTemplateData(t, listen, limits))
				loaded, findings := Parse("settings.toml", []byte(text))
				require.Empty(t, findings, text)
				require.Equal(t, role, loaded.Role)
				if name == "zero budget" {
					require.Zero(t, *loaded.Direct.RetryExtra, "a retry budget of zero is replaced by the default")
					require.Zero(t, *loaded.Direct.RetryRatio)
				}
			})
		}
	}
}
