package contract

import (
	"reflect"
	"testing"
)

// TestServerEqualComparesAllFields guards against a field that Equal ignores, whose changes would never be sent.
func TestServerEqualComparesAllFields(t *testing.T) {
	server := func() Server {
		return Server{ID: "a", Born: 1, Service: "s", Address: "h:1", Site: "z", Slots: 2, Leaving: true, ColdLeft: 3, Loaded: map[string]Version{"m": 1}}
	}
	if a, b := server(), server(); !a.Equal(b) {
		t.Errorf("%+v and %+v differ", a, b)
	}
	for i := range reflect.TypeFor[Server]().NumField() {
		changed := server()
		reflect.ValueOf(&changed).Elem().Field(i).SetZero()
		if server().Equal(changed) {
			t.Errorf("a change of %s is ignored", reflect.TypeFor[Server]().Field(i).Name)
		}
	}
}
