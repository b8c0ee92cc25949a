package fleetstore

import (
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

// Put writes a key regardless of its current revision, as the operator does. It
// retries when a concurrent write gets in between.
func Put(store *metastoretest.Store, key string, value []byte) error {
	for {
		e, err := store.Get(key)
		if err == nil {
			_, err = store.Swap(key, value, e.ModRevision, 0)
		} else {
			_, err = store.Create(key, value, 0)
		}
		if err == nil || !metastore.IsCause(err, metastore.CauseConflict) && !metastore.IsCause(err, metastore.CauseExists) {
			return err
		}
	}
}
