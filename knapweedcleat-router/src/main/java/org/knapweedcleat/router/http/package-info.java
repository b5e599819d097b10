/**
 * HTTP clients, and strict reading of HTTP responses on connections that carry one request after
 * another.
 */
package org.knapweedcleat.router.http;
