/** The trail of changes that operators can read. */
package org.knapweedcleat.core.audit;
