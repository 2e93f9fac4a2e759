package block

import "testing"

// FuzzCommand checks that no input makes the parser panic and that parsed requests are within the limits.
func FuzzCommand(f *testing.F) {
	f.Add("BLK.READ", testBlockID, "id", testParams)
	f.Add("BLK.WRITE", testBlockID, "", "c=new,,=,d=1e99")
	f.Add("BLK.READ", testBlockID, "id", "c=read,t=gold,d=,volume=00000003b4d60021,units=,shard=,hosts=")
	lim := testLimits()
	schema := testSchema(lim)
	f.Fuzz(func(t *testing.T, name, blockID, id, params string) {
		q, err := parseCommand([][]byte{[]byte(name), []byte(blockID), []byte(id), []byte(params)}, schema, 1000)
		if err == nil && (q.Deadline <= 1000 || q.Units <= 0 || q.Units > 8 || q.Class < 0 || q.Class > 1 || q.Shard < -1 ||
			q.Shard > 9 || id == "" || len(id) > lim.MaxID || len(params) > lim.MaxParams) {
			t.Errorf("%+v", q.RequestInfo)
		}
	})
}
