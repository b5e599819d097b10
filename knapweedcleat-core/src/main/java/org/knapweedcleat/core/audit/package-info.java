/** The audit trail of changes, for operators. */
package org.knapweedcleat.core.audit;
