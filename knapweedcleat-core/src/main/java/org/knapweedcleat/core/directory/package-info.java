/** What the deployment publishes for forwarded calls: routes, accounts, limits and endpoints. */
package org.knapweedcleat.core.directory;
