package object

import (
	"net/url"
	"testing"
)

func TestOperationOfMethodAndQuery(t *testing.T) {
	for _, x := range []struct {
		method string
		query  string
		want   operation
	}{
		{"GET", "", opGetOrDeleteObject},
		{"HEAD", "", opGetOrDeleteObject},
		{"DELETE", "", opGetOrDeleteObject},
		{"PUT", "", opPutObject},
		{"POST", "uploads", opCreateUpload},
		{"PUT", "partNumber=1&uploadId=0-u", opUploadPart},
		{"PUT", "uploadId=0-u", opUnknownQuery},
		{"POST", "uploadId=0-u", opCompleteUpload},
		{"POST", "uploadId=0-u&x=1", opUnknownQuery},
		{"DELETE", "uploadId=0-u", opAbortUpload},
		{"GET", "uploadId=0-u&max-parts=2", opListParts},
		{"HEAD", "uploadId=0-u", opUnknownQuery},
		{"GET", "acl", opUnknownQuery},
		{"POST", "", opUnknownMethod},
		{"PATCH", "", opUnknownMethod},
	} {
		query, err := url.ParseQuery(x.query)
		if err != nil {
			t.Fatal(err)
		}
		if got := operationOf(x.method, query); got != x.want {
			t.Errorf("%s with query %q: operation %d, want %d", x.method, x.query, got, x.want)
		}
	}
}
