/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Tests of what is saved of streams on a platform that answers slowly.

#include "origin_store.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

namespace
{

using namespace roadferry;

/// A map whose calls take a fixed time; those with a shorter timeout end without an answer. No time passes.
class SlowMap final : public PersistentMap
{
public:
	explicit SlowMap(Micros _answerTime) : answerTime(_answerTime)
	{
	}

	void readAll(Micros _timeout, std::function<void(absl::StatusOr<std::vector<PersistentEntry>>)> _done) override
	{
		this->calls += 1;
		if (_timeout < this->answerTime)
		{
			_done(absl::DeadlineExceededError("timed out"));
			return;
		}
		_done(std::vector<PersistentEntry>{});
	}

	void write(const std::string& /*_key*/, const std::string& /*_value*/, Micros _timeout,
			   std::function<void(absl::Status)> _done) override
	{
		this->calls += 1;
		_done(_timeout < this->answerTime ? absl::DeadlineExceededError("timed out") : absl::OkStatus());
	}

	std::size_t calls = 0;

private:
	Micros answerTime;
};

/// Processes events until a condition holds, or the map has got many calls.
void processEventsUntil(const SlowMap& _map, const std::function<bool()>& _condition)
{
	constexpr std::size_t kMaxCalls = 8;
	while (!_condition() && _map.calls < kMaxCalls)
	{
		QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
	}
}

} // namespace

/// Guards against loads that end before the platform's answer, whatever it takes: streams were never taken up.
Test(origin_store, origins_are_loaded_from_a_platform_that_takes_five_seconds)
{
	int count = 1;
	char name[] = "test";
	char* arguments[] = {name, nullptr};
	const QCoreApplication application(count, arguments);
	SlowMap map(5 * kSecond);
	bool isLoaded = false;
	OriginStore store(map,
					  OriginStoreHandlers{[&](const SavedOrigins&) { isLoaded = true; },
										  [](const SavedVersions&, bool) {}, [](const SaveStreamRecords&, bool) {}});
	store.load();
	processEventsUntil(map, [&] { return isLoaded; });
	cr_assert(isLoaded, "not loaded after %zu calls", map.calls);
}

/// Guards against saves that end before the platform's answer: the same versions were written again and again.
Test(origin_store, versions_are_saved_on_a_platform_that_takes_five_seconds)
{
	SlowMap map(5 * kSecond);
	bool isSaved = false;
	OriginStore store(map, OriginStoreHandlers{[](const SavedOrigins&) {},
											   [&](const SavedVersions&, bool _succeeded) { isSaved = _succeeded; },
											   [](const SaveStreamRecords&, bool) {}});
	constexpr int kTries = 4;
	for (int attempt = 0; attempt < kTries && !isSaved; ++attempt)
	{
		store.save(SavedVersions{"engines", {"v1"}});
	}
	cr_assert(isSaved, "not saved after %zu calls", map.calls);
}
