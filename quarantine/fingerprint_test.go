package quarantine

import "testing"

func TestFingerprintDistinguishesRequests(t *testing.T) {
	first := FingerprintOf("team", "POST", "h", "/a/b", []byte("body"))
	for name, test := range map[string]struct {
		other Fingerprint
		same  bool
	}{
		"equal request":                {FingerprintOf("team", "POST", "h", "/a/b", []byte("body")), true},
		"different caller":             {FingerprintOf("other", "POST", "h", "/a/b", []byte("body")), false},
		"different path":               {FingerprintOf("team", "POST", "h", "/a/c", []byte("body")), false},
		"different body":               {FingerprintOf("team", "POST", "h", "/a/b", []byte("bodies")), false},
		"same bytes split differently": {FingerprintOf("team", "POST", "h/a", "/b", []byte("body")), false},
	} {
		t.Run(name, func(t *testing.T) {
			if same := test.other == first; same != test.same {
				t.Errorf("same: %t, want %t", same, test.same)
			}
		})
	}
	if again, ok := ParseFingerprint(first.String()); !ok || again != first {
		t.Errorf("parsed as %s, %t", again, ok)
	}
	if _, ok := ParseFingerprint("not one"); ok {
		t.Error("malformed text is parsed as a fingerprint")
	}
}
