// Package lease campaigns for a key of the key-value service and holds it by a lease of 10 s.
//
// The live hosts are ranked by preference for the key. The holder renews its lease and treats it as invalid 3 s before
// the service can end it. Other hosts poll the key, less often the lower they rank, and create it when it is absent. A
// holder that stops hands the key over to the next host in rank.
package lease
