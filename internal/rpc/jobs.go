package rpc

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Jobs returns a client of the service for callers' jobs.
func (c *Client) Jobs() apiv1.Jobs {
	return apiv1.NewJobsProtobufClient(baseURL, c)
}
