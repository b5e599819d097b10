/**
 * Decides how many calls an instance admits after its start, while it does not know the load of the
 * endpoints.
 */
package org.knapweedcleat.core.startup;
