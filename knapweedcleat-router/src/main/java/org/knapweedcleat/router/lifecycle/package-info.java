/** Closes a process's resources at shutdown. */
package org.knapweedcleat.router.lifecycle;
