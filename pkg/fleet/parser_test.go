package fleet

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/state"
)

func configurationItem(t require.TestingT, configuration *Configuration) state.Item {
	item, err := (&Fact{Key: ConfigurationKey(), Revision: 7, Configuration: configuration}).Item()
	require.NoError(t, err)
	return item
}

// drawConfiguration returns a configuration whose elements are often equal to those of others.
func drawConfiguration(t *rapid.T) *Configuration {
	numbers := rapid.OneOf(rapid.SliceOfN(rapid.IntRange(0, 5), 0, 8), rapid.Just([]int{1, 2, 3}))
	configuration := &Configuration{
		Version:    rapid.Uint64Range(0, 9).Draw(t, "version"),
		Limits:     Limits{HeaderBytes: rapid.Int64Range(0, 2).Draw(t, "header bytes")},
		Unreadable: UnreadableParts{Routes: rapid.Bool().Draw(t, "unreadable")},
	}
	for _, n := range numbers.Draw(t, "routes") {
		configuration.Routes = append(configuration.Routes, Route{
			Name: fmt.Sprint(n), Kind: KindStream, Timeout: time.Duration(n), Resumable: n%2 == 0, Residency: Residency{},
			Backends: []Backend{{Service: member.Service(fmt.Sprint(n)), Weight: float64(n) / 2}},
		})
	}
	for _, n := range numbers.Draw(t, "services") {
		service := Service{Name: member.Service(fmt.Sprint(n)), ColdRate: float64(n)}
		if n%2 == 0 {
			service.Engine = &Engine{Slots: n, Models: []ModelName{"m"}}
		}
		configuration.Services = append(configuration.Services, service)
	}
	for _, n := range numbers.Draw(t, "organisations") {
		organisation := Organisation{Name: OrganisationName(fmt.Sprint(n)), Keys: []APIKey{APIKey(fmt.Sprint("key ", n))}}
		if n%2 == 0 {
			organisation.Priority = &n
		}
		configuration.Organisations = append(configuration.Organisations, organisation)
	}
	if rapid.Bool().Draw(t, "empty and not nil") {
		configuration.Routes = slices.Concat([]Route{}, configuration.Routes)
	}
	return configuration
}

func TestParserParsesAsParseFactDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parser Parser
		for range rapid.IntRange(1, 8).Draw(t, "configurations") {
			item := configurationItem(t, drawConfiguration(t))
			if rapid.IntRange(0, 4).Draw(t, "is damaged") == 0 {
				item.Value[rapid.IntRange(0, len(item.Value)-1).Draw(t, "at")] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
			}
			want, wantErr := ParseFact(item)
			got, err := parser.Parse(item)
			require.Equal(t, wantErr == nil, err == nil, "%v, %v", wantErr, err)
			if err == nil {
				require.Equal(t, want, got)
			}
		}
	})
}

func TestViewOfSharedListsIsThatOfNewOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parser Parser
		view := EmptyView()
		for revision := range Revision(rapid.IntRange(1, 8).Draw(t, "configurations")) {
			fact, err := parser.Parse(configurationItem(t, drawConfiguration(t)))
			require.NoError(t, err)
			view = view.WithConfiguration(fact.Configuration.WithFallback(view.Configuration), revision)
			require.Equal(t, EmptyView().WithConfiguration(view.Configuration, revision), view)
		}
	})
}

func TestParserParsesOtherItems(t *testing.T) {
	server, err := (&Fact{Key: ServerKey("a"), Revision: 3, Server: &Server{ID: "a", Service: "llm"}}).Item()
	require.NoError(t, err)
	for _, item := range []state.Item{server, {Key: ConfigurationKey(), Deleted: true}, {Key: "unknown"}} {
		want, wantErr := ParseFact(item)
		got, err := (&Parser{}).Parse(item)
		require.Equal(t, wantErr, err)
		require.Equal(t, want, got)
	}
}

func TestParserSharesUnchangedLists(t *testing.T) {
	var parser Parser
	first, err := parser.Parse(configurationItem(t, &Configuration{
		Version: 1, Routes: []Route{{Name: "a"}, {Name: "b"}}, Organisations: []Organisation{{Name: "a"}},
	}))
	require.NoError(t, err)
	second, err := parser.Parse(configurationItem(t, &Configuration{
		Version: 2, Routes: []Route{{Name: "a"}, {Name: "b"}}, Organisations: []Organisation{{Name: "b"}},
	}))
	require.NoError(t, err)
	require.Same(t, &first.Configuration.Routes[0], &second.Configuration.Routes[0])
	require.NotSame(t, &first.Configuration.Organisations[0], &second.Configuration.Organisations[0])
}

// Guards against a field of the configuration that Parser leaves out.
func TestEncodedConfigurationHasAllFields(t *testing.T) {
	decoded, encoded := reflect.TypeFor[Configuration](), reflect.TypeFor[encodedConfiguration]()
	require.Equal(t, decoded.NumField(), encoded.NumField())
	for i := range decoded.NumField() {
		require.Equal(t, decoded.Field(i).Name, encoded.Field(i).Name)
		require.Equal(t, decoded.Field(i).Tag, encoded.Field(i).Tag)
	}
}
