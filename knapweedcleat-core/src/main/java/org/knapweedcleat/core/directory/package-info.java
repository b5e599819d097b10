/**
 * Published configuration for forwarded calls: routes, services, accounts, limits and endpoints.
 */
package org.knapweedcleat.core.directory;
