package quarantine

import "testing"

func TestFingerprintTellsRequestsApart(t *testing.T) {
	first := FingerprintOf("team", "POST", "h", "/a/b", []byte("body"))
	for name, test := range map[string]struct {
		other Fingerprint
		same  bool
	}{
		"the same again":           {FingerprintOf("team", "POST", "h", "/a/b", []byte("body")), true},
		"another caller":           {FingerprintOf("other", "POST", "h", "/a/b", []byte("body")), false},
		"another path":             {FingerprintOf("team", "POST", "h", "/a/c", []byte("body")), false},
		"another body":             {FingerprintOf("team", "POST", "h", "/a/b", []byte("bodies")), false},
		"the same bytes elsewhere": {FingerprintOf("team", "POST", "h/a", "/b", []byte("body")), false},
	} {
		t.Run(name, func(t *testing.T) {
			if same := test.other == first; same != test.same {
				t.Errorf("same: %t, want %t", same, test.same)
			}
		})
	}
	if again, ok := ParseFingerprint(first.String()); !ok || again != first {
		t.Errorf("read as %s, %t", again, ok)
	}
	if _, ok := ParseFingerprint("not one"); ok {
		t.Error("anything is read as a fingerprint")
	}
}
