package object

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// uploadID identifies an upload. It contains the shard that stores the upload, so that every broker can find it, even
// one that has started later.
type uploadID struct {
	shard  int
	nodeID string // the id that the storage node has assigned
}

// String returns the id in the form that clients use.
func (u uploadID) String() string { return strconv.Itoa(u.shard) + "-" + u.nodeID }

// nodeQuery returns the query parameter that identifies the upload at its storage node.
func (u uploadID) nodeQuery() string { return queryUploadID + "=" + url.QueryEscape(u.nodeID) }

// parseUploadID parses an id in the form that clients use. It returns errNoSuchUpload if the id is invalid.
func parseUploadID(id string, shards int) (uploadID, error) {
	shardText, nodeID, ok := strings.Cut(id, "-")
	shard, err := strconv.Atoi(shardText)
	u := uploadID{shard: shard, nodeID: nodeID}
	if !ok || err != nil || nodeID == "" || shard < 0 || shard >= shards || u.String() != id {
		return uploadID{}, errNoSuchUpload
	}
	return u, nil
}

// parseCompletion checks the body of a request that completes an upload, and returns the entity tag that the object
// will have: the MD5 of the parts' MD5 sums and the number of parts. The tag is empty if a part's tag is not an MD5
// sum.
func parseCompletion(body []byte, maxParts int) (etag string, err error) {
	var c completeUploadRequest
	if xml.Unmarshal(body, &c) != nil || len(c.Parts) == 0 || len(c.Parts) > maxParts {
		return "", errMalformedXML
	}
	sum := md5.New()
	allMD5 := true
	lastNumber := 0
	for _, p := range c.Parts {
		if p.PartNumber < 1 || p.PartNumber > maxParts || p.ETag == "" {
			return "", errMalformedXML
		}
		if p.PartNumber <= lastNumber {
			return "", errInvalidPartOrder
		}
		lastNumber = p.PartNumber
		tag, err := hex.DecodeString(strings.Trim(p.ETag, `"`))
		if err != nil || len(tag) != md5.Size {
			allMD5 = false
		}
		sum.Write(tag)
	}
	if !allMD5 {
		return "", nil
	}
	return fmt.Sprintf(`"%x-%d"`, sum.Sum(nil), len(c.Parts)), nil
}
