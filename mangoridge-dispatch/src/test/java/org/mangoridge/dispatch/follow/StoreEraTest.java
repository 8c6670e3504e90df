package org.mangoridge.dispatch.follow;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreEraTest {

    private final StoreEra era = StoreEra.create();
    private final List<Long> restores = new ArrayList<>();

    @Test
    void onlyARiseIsARestore() {
        era.onRestore(restores::add);
        assertThat(era.observe(3)).isTrue();
        assertThat(era.observe(3)).isTrue();
        assertThat(restores).isEmpty();
        assertThat(era.observe(4)).isTrue();
        assertThat(restores).containsExactly(4L);
        assertThat(era.current()).isEqualTo(4);
    }

    @Test
    void anAnswerFromBeforeARestoreIsNotUsed() {
        era.observe(4);
        assertThat(era.observe(3)).isFalse();
        assertThat(era.current()).isEqualTo(4);
    }
}
