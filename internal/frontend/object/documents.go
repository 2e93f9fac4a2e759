package object

import "encoding/xml"

const xmlNamespace = "http://s3.amazonaws.com/doc/2006-03-01/"

// createUploadResult is the body of the response to a request that creates an upload.
type createUploadResult struct {
	XMLName  xml.Name `xml:"InitiateMultipartUploadResult"`
	Xmlns    string   `xml:"xmlns,attr,omitempty"`
	Bucket   string   `xml:"Bucket"`
	Key      string   `xml:"Key"`
	UploadID string   `xml:"UploadId"`
}

// listPartsResult is the body of the response to a request that lists the parts of an upload.
type listPartsResult struct {
	XMLName              xml.Name     `xml:"ListPartsResult"`
	Xmlns                string       `xml:"xmlns,attr,omitempty"`
	Bucket               string       `xml:"Bucket"`
	Key                  string       `xml:"Key"`
	UploadID             string       `xml:"UploadId"`
	PartNumberMarker     int          `xml:"PartNumberMarker"`
	NextPartNumberMarker int          `xml:"NextPartNumberMarker"`
	MaxParts             int          `xml:"MaxParts"`
	IsTruncated          bool         `xml:"IsTruncated"`
	Parts                []listedPart `xml:"Part"`
}

type listedPart struct {
	PartNumber   int    `xml:"PartNumber"`
	LastModified string `xml:"LastModified,omitempty"`
	ETag         string `xml:"ETag"`
	Size         int64  `xml:"Size"`
}

// completeUploadRequest is the body of a request that completes an upload.
type completeUploadRequest struct {
	XMLName xml.Name        `xml:"CompleteMultipartUpload"`
	Parts   []completedPart `xml:"Part"`
}

type completedPart struct {
	PartNumber int    `xml:"PartNumber"`
	ETag       string `xml:"ETag"`
}

// completeUploadResult is the body of the response to a request that completes an upload.
type completeUploadResult struct {
	XMLName  xml.Name `xml:"CompleteMultipartUploadResult"`
	Xmlns    string   `xml:"xmlns,attr,omitempty"`
	Location string   `xml:"Location"`
	Bucket   string   `xml:"Bucket"`
	Key      string   `xml:"Key"`
	ETag     string   `xml:"ETag"`
}

// marshal encodes an XML document with its header.
func marshal(document any) ([]byte, error) {
	b, err := xml.Marshal(document)
	if err != nil {
		return nil, err
	}
	return append([]byte(xml.Header), b...), nil
}
