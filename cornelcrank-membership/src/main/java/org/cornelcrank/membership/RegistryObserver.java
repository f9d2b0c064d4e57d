package org.cornelcrank.membership;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Member;

/** Is notified of each change of a registry entry, whether or not it is visible in the membership view. */
interface RegistryObserver {

    /** Called when an entry changes; {@code before} is null for a new one. */
    void entryChanged(Member before, Member after, long nowMs, Effects out);
}
