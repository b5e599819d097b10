/** Calls endpoints over HTTP and knows for each call whether bytes of it left. */
package org.knapweedcleat.router.endpoint;
