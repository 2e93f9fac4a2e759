package block

import "testing"

// FuzzCommand checks that no input makes parseCommand panic and that parsed requests are within the limits.
func FuzzCommand(f *testing.F) {
	f.Add("BLK.READ", testBlockID, "id", testParams)
	f.Add("BLK.WRITE", testBlockID, "", "c=new,,=,d=1e99")
	f.Add("BLK.READ", testBlockID, "id", "c=read,t=gold,d=,volume=00000003b4d60021,units=,shard=,hosts=")
	lim := testLimits()
	schema := testSchema(lim)
	f.Fuzz(func(t *testing.T, name, blockID, id, params string) {
		req, err := parseCommand([][]byte{[]byte(name), []byte(blockID), []byte(id), []byte(params)}, schema, 1000)
		if err == nil && (req.Deadline <= 1000 || req.Units <= 0 || req.Units > 8 || req.Class < 0 || req.Class > 1 || req.Shard < -1 ||
			req.Shard > 9 || id == "" || len(id) > lim.MaxID || len(params) > lim.MaxParams) {
			t.Errorf("parsed request exceeds a limit: %+v", req.RequestInfo)
		}
	})
}
