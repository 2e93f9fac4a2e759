package object

import (
	"strings"
	"testing"
)

// FuzzParse checks that no body, upload id or range makes the parsers panic, and that what they accept is within bounds.
func FuzzParse(f *testing.F) {
	good := "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>&quot;" + strings.Repeat("0", 32) +
		"&quot;</ETag></Part></CompleteMultipartUpload>"
	f.Add(good, "1-u7", "bytes=0-9,-5")
	f.Add(good[:60], "-", "bytes=")
	f.Add("<CompleteMultipartUpload/>", "01-u", "bytes=9-3")
	f.Fuzz(func(t *testing.T, body, id, span string) {
		if tag, err := parseCompletion([]byte(body), 10); err != nil && tag != "" {
			t.Errorf("tag %q with %v", tag, err)
		}
		if u, err := parseUploadID(id, 2); err == nil && (u.shard < 0 || u.shard > 1 || u.String() != id) {
			t.Errorf("shard %d, node id %q of %q", u.shard, u.nodeID, id)
		}
		if isValidRange(span) && !strings.HasPrefix(span, "bytes=") {
			t.Errorf("range %q", span)
		}
	})
}

// The object's entity tag is the MD5 of the parts' MD5s and their number, as in S3.
func TestCompletionYieldsTheObjectsEntityTag(t *testing.T) {
	// Two empty parts: md5(d41d8cd9... twice).
	const empty = "d41d8cd98f00b204e9800998ecf8427e"
	body := "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>" + empty + "</ETag></Part><Part><PartNumber>2" +
		"</PartNumber><ETag>\"" + empty + "\"</ETag></Part></CompleteMultipartUpload>"
	tag, err := parseCompletion([]byte(body), 10)
	if err != nil || tag != `"5873dd45edd01f09c1ef2e7819369e8e-2"` {
		t.Errorf("%q, %v", tag, err)
	}
	if tag, err = parseCompletion([]byte(strings.Replace(body, empty, "opaque", 1)), 10); err != nil || tag != "" {
		t.Errorf("opaque: %q, %v", tag, err)
	}
}
