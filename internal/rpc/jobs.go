package rpc

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Jobs returns the service of callers' jobs.
func (c *Client) Jobs() apiv1.Jobs {
	return apiv1.NewJobsProtobufClient(baseURL, c)
}
