/** Reads what the platform publishes: the document and the list of instances. */
package org.knapweedcleat.router.platform;
