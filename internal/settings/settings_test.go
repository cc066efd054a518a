package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/tools/txtar"
)

// Each file in testdata holds settings and the expected findings with their positions.
func TestFindingsIncludeLineAndColumn(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			parts := make(map[string]string)
			for _, part := range archive.Files {
				parts[part.Name] = string(part.Data)
			}
			_, findings := Parse("settings.toml", []byte(parts["settings.toml"]))
			got := ""
			if len(findings) > 0 {
				got = findings.Error() + "\n"
			}
			require.Equal(t, parts["findings"], got)
		})
	}
}

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, findings := Load(file)
		require.Empty(t, findings, file)
	}
}

func TestMissingFileIsReported(t *testing.T) {
	_, findings := Load(filepath.Join(t.TempDir(), "none.toml"))
	require.Len(t, findings, 1)
}

func TestEmptyTokenFileIsReported(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte(" \n"), 0o600))
	content, err := os.ReadFile("../../examples/hatakei/entry.toml")
	require.NoError(t, err)
	text := strings.Replace(string(content), "[platform]", "[operators]\ntoken_file = \""+token+"\"\n\n[platform]", 1)
	_, findings := Parse("settings.toml", []byte(text))
	require.Len(t, findings, 1)
	require.Equal(t, "operators.token_file", findings[0].Key)
}
