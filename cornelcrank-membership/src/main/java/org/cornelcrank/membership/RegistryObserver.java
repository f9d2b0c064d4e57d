package org.cornelcrank.membership;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Member;

/** Is told of each change of what is known about a member, whether or not others see a difference. */
interface RegistryObserver {

    /** An entry changed; {@code before} is null for a new one. */
    void entryChanged(Member before, Member after, long nowMs, Effects out);
}
