package object

import (
	"strings"
	"testing"
)

// FuzzParse checks that no completion body, upload id or range makes its parser panic, and that accepted values are
// valid.
func FuzzParse(f *testing.F) {
	validBody := "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>&quot;" + strings.Repeat("0", 32) +
		"&quot;</ETag></Part></CompleteMultipartUpload>"
	f.Add(validBody, "1-u7", "bytes=0-9,-5")
	f.Add(validBody[:60], "-", "bytes=")
	f.Add("<CompleteMultipartUpload/>", "01-u", "bytes=9-3")
	f.Fuzz(func(t *testing.T, body, id, rangeHeader string) {
		if tag, err := parseCompletion([]byte(body), 10); err != nil && tag != "" {
			t.Errorf("both tag %q and error %v are returned", tag, err)
		}
		if u, err := parseUploadID(id, 2); err == nil && (u.shard < 0 || u.shard > 1 || u.String() != id) {
			t.Errorf("%q is parsed as shard %d, node id %q", id, u.shard, u.nodeID)
		}
		if isValidRange(rangeHeader) && !strings.HasPrefix(rangeHeader, "bytes=") {
			t.Errorf("range %q is accepted", rangeHeader)
		}
	})
}

// The object's entity tag is the MD5 of the parts' MD5 sums and the number of parts, as in S3.
func TestCompletionYieldsTheObjectsEntityTag(t *testing.T) {
	// Two empty parts: md5(d41d8cd9... twice).
	const empty = "d41d8cd98f00b204e9800998ecf8427e"
	body := "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>" + empty + "</ETag></Part><Part><PartNumber>2" +
		"</PartNumber><ETag>\"" + empty + "\"</ETag></Part></CompleteMultipartUpload>"
	tag, err := parseCompletion([]byte(body), 10)
	if err != nil || tag != `"5873dd45edd01f09c1ef2e7819369e8e-2"` {
		t.Errorf("two MD5 tags: got tag %q, error %v", tag, err)
	}
	if tag, err = parseCompletion([]byte(strings.Replace(body, empty, "opaque", 1)), 10); err != nil || tag != "" {
		t.Errorf("one tag is not an MD5 sum: got tag %q, error %v, want no tag", tag, err)
	}
}
