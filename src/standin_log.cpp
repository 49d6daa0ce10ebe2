/*
 * Copyright 2026 The roadferry maintainers. All rights reserved.
 * License: https://opensource.org/licenses/BSD-2-Clause
 */

/// @file
/// Stand-in for the platform's log service: POST /append and GET /records?from=OFFSET. The first offset is 1.

#include "standin.h"

#include <QUrl>
#include <QUrlQuery>

#include <chrono>
#include <deque>

namespace roadferry
{

namespace
{

constexpr qint64 kMaxRecordsPerRead = 500;
constexpr std::int64_t kMicrosPerMillisecond = 1'000;

class LogStandin final : public Standin
{
public:
	LogStandin(IoPool& _pool, const StandinSettings& _settings) : pool(_pool), settings(_settings)
	{
	}

	void handle(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply) override
	{
		if (this->faults.handle(_request, _reply))
		{
			return;
		}
		const FaultMode fault = this->faults.takeFault();
		if (fault == FaultMode::Unavailable)
		{
			_reply->abort();
			return;
		}
		const std::int64_t delay = fault == FaultMode::Slow ? this->faults.slowDelayMs() * kMicrosPerMillisecond : 0;
		this->pool.runAfter(0, delay, [this, _request, _reply, fault] { this->serve(_request, _reply, fault); });
	}

private:
	void serve(const HttpRequest& _request, const std::shared_ptr<HttpReply>& _reply, FaultMode _fault)
	{
		const QUrl url(QString::fromStdString(_request.target));
		if (_request.method == "POST" && url.path() == "/append")
		{
			this->append(_request.body, _reply, _fault);
			return;
		}
		if (url.path() == "/records")
		{
			this->read(QUrlQuery(url).queryItemValue("from").toLongLong(), _reply);
			return;
		}
		_reply->send(jsonResponse(404, {}));
	}

	void append(const std::string& _record, const std::shared_ptr<HttpReply>& _reply, FaultMode _fault)
	{
		if (!this->admitAppend())
		{
			_reply->send(jsonResponse(429, {}));
			return;
		}
		this->records.push_back(_record);
		this->appendCount += 1;
		if (this->settings.maxRecords > 0 &&
			static_cast<std::int64_t>(this->records.size()) > this->settings.maxRecords)
		{
			this->records.pop_front();
			this->firstOffset += 1;
		}
		if (_fault == FaultMode::DropResponse)
		{
			_reply->abort();
			return;
		}
		_reply->send(jsonResponse(200, QJsonObject{{"offset", this->nextOffset() - 1}}));
	}

	void read(qint64 _from, const std::shared_ptr<HttpReply>& _reply) const
	{
		const qint64 from = std::max(_from, this->firstOffset);
		QJsonArray list;
		for (qint64 offset = from; offset < this->nextOffset() && offset < from + kMaxRecordsPerRead; ++offset)
		{
			const std::string& record = this->records.at(static_cast<std::size_t>(offset - this->firstOffset));
			list.append(QJsonObject{{"offset", offset}, {"data", QString::fromStdString(record)}});
		}
		_reply->send(jsonResponse(200, QJsonObject{{"first", this->firstOffset},
												   {"next", this->nextOffset()},
												   {"appends", this->appendCount},
												   {"records", list}}));
	}

	[[nodiscard]] qint64 nextOffset() const
	{
		return this->firstOffset + static_cast<qint64>(this->records.size());
	}

	/// Counts one append against the rate limit, in windows of 1 s.
	/// @returns Whether the append is within the limit.
	bool admitAppend()
	{
		const auto now = std::chrono::steady_clock::now();
		if (now - this->windowStart >= std::chrono::seconds(1))
		{
			this->windowStart = now;
			this->windowAppends = 0;
		}
		this->windowAppends += 1;
		return this->windowAppends <= this->settings.appendsPerSecond;
	}

	IoPool& pool;
	StandinSettings settings;
	FaultInjector faults;
	std::deque<std::string> records;
	qint64 firstOffset = 1;
	qint64 appendCount = 0;
	std::chrono::steady_clock::time_point windowStart;
	std::int64_t windowAppends = 0;
};

} // namespace

std::unique_ptr<Standin> makeLogStandin(IoPool& _pool, const StandinSettings& _settings)
{
	return std::make_unique<LogStandin>(_pool, _settings);
}

} // namespace roadferry
