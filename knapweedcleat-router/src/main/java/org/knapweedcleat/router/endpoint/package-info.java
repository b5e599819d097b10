/** HTTP clients for endpoints, which record for each call whether any of it was sent. */
package org.knapweedcleat.router.endpoint;
