package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.store.StoredValue;

/** Formats of a platform without readable entries and with empty statuses. */
final class EmptyFormats implements PlatformFormats {
    @Override
    public String targetPrefix() {
        return "targets/";
    }

    @Override
    public String targetId(String key) {
        return key;
    }

    @Override
    public Optional<TargetEntry> target(StoredValue value) {
        return Optional.empty();
    }

    @Override
    public String operatorPrefix() {
        return "operator/";
    }

    @Override
    public Optional<OperatorItem> operatorItem(String key, ByteString value) {
        return Optional.empty();
    }

    @Override
    public String waveStatusKey(long wave) {
        return "wave-status/" + wave;
    }

    @Override
    public ByteString waveStatus(boolean completed) {
        return ByteString.EMPTY;
    }
}
